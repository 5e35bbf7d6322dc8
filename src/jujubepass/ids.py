"""Distinct types of identifiers, so that type checks reject a mix-up."""

import typing

AccountId = typing.NewType("AccountId", str)
AttemptId = typing.NewType("AttemptId", str)
BackendServerId = typing.NewType("BackendServerId", str)
ChangeId = typing.NewType("ChangeId", str)
ChangeNumber = typing.NewType("ChangeNumber", int)
Epoch = typing.NewType("Epoch", int)
FailureDomainId = typing.NewType("FailureDomainId", str)
FencingNumber = typing.NewType("FencingNumber", int)
IdempotencyKey = typing.NewType("IdempotencyKey", str)
LeaseId = typing.NewType("LeaseId", str)
ModelId = typing.NewType("ModelId", str)
NodeId = typing.NewType("NodeId", str)
PromptPartId = typing.NewType("PromptPartId", str)
RegionId = typing.NewType("RegionId", str)
RequestDigest = typing.NewType("RequestDigest", str)
RequestId = typing.NewType("RequestId", str)
ServiceId = typing.NewType("ServiceId", str)
TemplateId = typing.NewType("TemplateId", str)

import behave

import jujubepass


@behave.given("the installed package")
def step_package(context):
    context.version = jujubepass.__version__


@behave.then("its version has three parts")
def step_version(context):
    assert len(context.version.split(".")) == 3

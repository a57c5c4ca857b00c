from behave import then
from behave import when

from tools import processes


@when("{count:d} free ports are found together")
def find_ports(context, count):
    context.ports = processes.find_free_ports(count)


@then("the free ports all differ")
def check_ports(context):
    assert len(set(context.ports)) == len(context.ports)

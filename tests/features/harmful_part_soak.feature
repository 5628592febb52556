Feature: A harmful prompt part while gateways are disturbed

  Scenario: Gateways are stopped and killed while requests with a harmful part come
    # Guards against evidence that is lost or late when gateways restart: the part would crash instances anew.
    When gateway processes are disturbed from seed 2 for 10 seconds while a harmful prompt part comes
    Then no more than 3 requests with it ran 3 seconds after the fifth crash
    And harmless requests were served afterwards

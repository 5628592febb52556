@each.gateway
Feature: Records of other writers end no gateway

  @fixture.log_lines
  Scenario Outline: A member whose address is <address>
    # Guards against an address of one record whose use raises an error that
    # ends a loop, and with it every gateway.
    Given two more gateways and an instance for stage work
    When another writer adds 20 members with the address <address>
    Then no gateway asks to be shut down within 3 pings
    And they are logged as unreadable
    And 5 requests to /safe/answer are answered by its instances

    Examples:
      | address                 |
      | a label too long:80     |
      | ..:80                   |
      | 10.0.0.1:99999          |
      | 10.0.0.1:5000 digits    |
      | 10.0.0.256:80           |
      | user@10.0.0.1:80        |
      | 10.0.0.1:80/../other    |
      | nothing                 |

  Scenario: Any value under the keys of members, instances and quarantines
    # Guards against values that no list of examples has.
    Given two more gateways and an instance for stage work
    Then no value that another writer stores ends a gateway

  @fixture.log_lines
  Scenario: A quarantine whose crashes are in the future
    # Guards against a record of another writer that quarantines a request for
    # good.
    Given two more gateways and an instance for stage work
    When another writer adds a quarantine whose crashes are in the future
    Then no gateway quarantines it, and it is logged as unreadable

@each.gateway_process
Feature: Many records of other writers neither stop a gateway nor fill its log

  Scenario Outline: Thousands of records cannot be read, and the store <event>
    # Guards against a gateway that stops following its instances, and against a
    # log that grows with each record and each read.
    When another writer adds 1000 odd records under each prefix
    And the store <event> for 3 s
    Then the process follows an instance that appears and one that leaves
    And it logs at most 60 lines of each kind about them

    Examples:
      | event                             |
      | answers                           |
      | is slow                           |
      | is down                           |
      | is restored from a copy of before |

Feature: Requests are ranked by organisation, then by route

  Scenario: Routes are ranked among organisations of one priority
    # Where each organisation has a priority, that of the routes was ignored:
    # household questions waited behind four seconds of less urgent summaries.
    Given organisations of priority 1 and routes of priority 0, 1 and 2
    Then their requests are ranked by route

  Scenario: The priority of an organisation takes precedence
    Given organisations of priority 0 and 1 and routes of priority 0 and 2
    Then each request of the first organisation ranks before all of the second

  Scenario: Without priorities of organisations routes decide
    Given organisations without priority and routes of priority 0, 2 and 5
    Then their requests are ranked by route

  Scenario: The rank of any request is one that schedulers know
    Then any priorities give ranks from 0 to 9 in their order

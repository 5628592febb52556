Feature: Resumptions wait for a read of the store

  Scenario Outline: Many streams are resumed at the same time
    # Guards against resumptions that are refused by gateways whose store is
    # sound, since their reads are too far apart.
    When the streams of a lost domain are resumed at <gateways> gateways
    Then less than a tenth of the resumptions lack a read

    Examples:
      | gateways |
      | 4        |
      | 30       |
      | 200      |
      | 300      |
      | 410      |

  Scenario: Reads are too far apart
    # Guards against a model that would not show the fault.
    When the streams of a lost domain are resumed at 200 gateways that read 80 times a second
    Then more than a tenth of the resumptions lack a read

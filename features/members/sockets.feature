Feature: Connections between daemons

  Scenario Outline: What a reader is told: <story>
    A reset that passes for an end would be taken for an orderly close, and bytes that
    came before it must not be lost.

    Given a connection between two daemons
    When the far end <does>
    Then the near end reads "<bytes>", and then <ends>

    Examples:
      | story             | does                     | bytes  | ends                   |
      | an orderly end    | sends "abcd" and closes  | abcd   | EndOfStream            |
      | a half-close      | sends "abcd" and an end  | abcd   | EndOfStream            |
      | a reset           | sends "abcd" and resets  | abcd   | BrokenResourceError    |
      | closed while read | has its reader closed    |        | ClosedResourceError    |

  Scenario: A peer that is not read is held back
    A daemon that is slow to take messages would hold all that its peers send in memory.

    Given a connection between two daemons
    When the far end sends 64 MB that nobody reads
    Then the near end holds less than 1 MB, and the far end waits
    And all of it comes when it is read

  Scenario: A connection that comes before it is served is served
    A peer connects at the moment at which a daemon begins to listen.

    Given a connection between two daemons
    Then the near end was made before it was served

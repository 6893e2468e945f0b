Feature: Clients outside the limits
  Crowds of separate clients at the daemons' own processes, on machines with little
  memory and few descriptors. Bodies of 1 MB are allowed.

  Scenario Outline: The serving daemon survives at "<address>": <clients> clients <crowd>
    Guards against callers that use up the memory, the descriptors or the event loop.

    Given the "serving" daemon on a machine with 192 MB and 500 descriptors
    When <clients> clients "<crowd>" at its address for "<address>"
    Then the process lives
    And it has stayed within its memory and its descriptors
    And one ordinary request at each address is answered, meanwhile and afterwards
    And nothing is held afterwards

    Examples:
      | address | clients | crowd                              |
      | callers | 250     | stop short of their end            |
      | callers | 250     | send large chunks without end      |
      | callers | 60      | send tiny chunks                   |
      | callers | 450     | announce far more than allowed     |
      | callers | 250     | send chunks far past the limit     |
      | callers | 250     | send whole bodies and read nothing |
      | callers | 250     | pipeline and read nothing          |
      | callers | 600     | send half heads                    |
      | callers | 600     | send nothing                       |
      | ready   | 250     | stop short of their end            |
      | ready   | 60      | send tiny chunks                   |
      | ready   | 600     | send nothing                       |
      | metrics | 250     | stop short of their end            |
      | metrics | 250     | pipeline and read nothing          |
      | metrics | 600     | send nothing                       |
      | peers   | 600     | send nothing                       |

  Scenario Outline: The daemon survives at "<address>": <clients> clients <crowd>
    Guards against clients of our own interfaces that use up memory or descriptors.

    Given the "own" daemon on a machine with 192 MB and 500 descriptors
    When <clients> clients "<crowd>" at its address for "<address>"
    Then the process lives
    And it has stayed within its memory and its descriptors
    And one ordinary request at each address is answered, meanwhile and afterwards

    Examples:
      | address        | clients | crowd                              |
      | callers        | 250     | stop short of their end            |
      | callers        | 250     | send large chunks without end      |
      | callers        | 60      | send tiny chunks                   |
      | callers        | 250     | announce far more than allowed     |
      | callers        | 250     | send chunks far past the limit     |
      | callers        | 250     | send whole bodies and read nothing |
      | callers        | 600     | send half heads                    |
      | callers        | 600     | send nothing                       |
      | administration | 250     | stop short of their end            |
      | administration | 250     | announce far more than allowed     |
      | administration | 600     | send nothing                       |
      | peers          | 600     | send nothing                       |

  Scenario Outline: In calm the "<program>" daemon takes a body of 1 MB: <how>
    Guards against limits that a single client inside the limits meets.

    Given the "<program>" daemon on a machine with 192 MB and 500 descriptors
    When a client sends a body of <bytes> bytes: <how>
    Then it is answered with <status>

    Examples:
      | program | bytes   | how                   | status |
      | serving | 1000000 | at once               | 200    |
      | serving | 1000000 | in chunks of 2 bytes  | 200    |
      | serving | 1000000 | in chunks of 1 byte   | 200    |
      | serving | 1000000 | in parts, with pauses | 200    |
      | serving | 1000001 | at once               | 413    |
      | serving | 1000002 | in chunks of 2 bytes  | 413    |
      | own     | 1000000 | at once               | 200    |
      | own     | 1000000 | in chunks of 2 bytes  | 200    |
      | own     | 1000000 | in parts, with pauses | 200    |
      | own     | 1000001 | at once               | 413    |

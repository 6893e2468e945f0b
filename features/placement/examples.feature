Feature: The example deployments

  Scenario Outline: An example's folder has no fault and the deployment's sizes
    When the folder of example "<name>" is merged
    Then it holds 3000 adapters, <engines> engines of <slots> slots in all and 3 data centres
    And it weighs <weigh> at <rate> loads a second

    Examples:
      | name       | engines | slots | weigh | rate |
      | okavango   | 6       | 72    | 0     | 3    |
      | chaophraya | 9       | 99    | 1     | 4    |

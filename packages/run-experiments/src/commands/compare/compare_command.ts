import {Command} from 'clipanion';
import {playScenario} from '../../play_scenario.js';
import {POLICY_NAMES, makePolicy} from '../../policy_names.js';
import {formatComparison} from '../../print_outcomes.js';
import {type Scenario} from '../../scenario.js';
import {ScenarioCommand} from '../scenario_command.js';

/** Simulates each file with every policy, on the same requests and faults. */
export class CompareCommand extends ScenarioCommand {
  static override paths = [['compare']];
  static override usage = Command.Usage({
    description: 'Compare the policies on the same requests and faults.',
    examples: [
      ['All customers', 'mimosatack-experiment compare scenarios/*.toml'],
    ],
  });

  protected simulate(
    scenarios: readonly Scenario[],
    seeds: readonly number[],
  ): void {
    scenarios.forEach(scenario => {
      const results = POLICY_NAMES.map(policy => ({
        policy,
        outcomes: seeds.map(seed =>
          playScenario(scenario, makePolicy(policy), seed),
        ),
      }));
      this.context.stdout.write(formatComparison(scenario.name, results));
    });
  }
}

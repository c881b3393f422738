import {Command} from 'clipanion';
import {playScenario} from '../../play_scenario.js';
import {makePolicy} from '../../policy_names.js';
import {formatOutcomes} from '../../print_outcomes.js';
import {type Scenario} from '../../scenario.js';
import {ScenarioCommand} from '../scenario_command.js';

/** Simulates each file with the policy that the scheduling node uses. */
export class RunCommand extends ScenarioCommand {
  static override paths = [['run']];
  static override usage = Command.Usage({
    description: 'Play scenarios and tell how each kind of request fares.',
    examples: [
      ['With six seeds', 'mimosatack-experiment run crew.toml --seeds 6'],
    ],
  });

  protected simulate(
    scenarios: readonly Scenario[],
    seeds: readonly number[],
  ): void {
    scenarios.forEach(scenario => {
      const outcomes = seeds.map(seed =>
        playScenario(scenario, makePolicy('batch-worth'), seed),
      );
      this.context.stdout.write(formatOutcomes(scenario.name, outcomes));
    });
  }
}

/** `mimosatack host drain` and `host resume`. */
import {Command, type CommandClass, Option} from 'clipanion';
import {type Report} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {type ToolContext} from '../../tool_context.js';

/** Creates `host drain`, or `host resume` for a drained backend server. */
function makeDrainCommand(isDraining: boolean): CommandClass<ToolContext> {
  return class extends ChangingCommand {
    static override paths = [['host', isDraining ? 'drain' : 'resume']];
    static override usage = Command.Usage({
      category: 'Operation',
      description: isDraining
        ? 'Keep new work away from a backend server'
        : 'Give a drained backend server work again',
    });

    backendServerId = Option.String({name: 'backend-server'});

    protected async perform(): Promise<Report> {
      const id = encodeURIComponent(this.backendServerId);
      const accepted = await this.apply({
        method: 'POST',
        path: `/admin/v1/backend-servers/${id}/drain`,
        body: {isDraining, reason: this.reason},
      });
      const effect = isDraining
        ? 'receives no new work'
        : 'receives work again';
      return {json: accepted, text: `${this.backendServerId} ${effect}.\n`};
    }
  };
}

export const DRAIN_COMMANDS = [makeDrainCommand(true), makeDrainCommand(false)];

/** `mimosatack event create`. */
import {Command, Option} from 'clipanion';
import {type Report, parseCount} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {planCreate, parseParameters} from '../../plans/event_plans.js';
import {readDocument} from '../document/read_version.js';
import {formatStatus} from './format_status.js';
import {EventWatcher} from './watch_event.js';

export class CreateEventCommand extends ChangingCommand {
  static override paths = [['event', 'create']];
  static override usage = Command.Usage({
    category: 'Events',
    description: 'Create an event from a template',
    examples: [
      [
        'Create an event and wait until its models are warm',
        '$0 event create friday --template window --param start=2026-05-01T16:00:00Z --param replicas=2 --wait-warm --timeout-seconds 600',
      ],
    ],
  });

  eventId = Option.String({name: 'id'});
  template = Option.String('--template', {
    required: true,
    description: 'The template to fill in',
  });
  templateVersion = Option.String('--template-version', {
    description: 'Keep the event on this version of the template',
  });
  params = Option.Array('--param', [], {
    description: 'A parameter as name=value; a list is separated by commas',
  });
  shouldWaitWarm = Option.Boolean('--wait-warm', false, {
    description: 'Wait until all replicas of the event are warm',
  });

  protected async perform(): Promise<Report> {
    const version = parseCount(this.templateVersion, '--template-version');
    const client = await this.connect();
    const template = await readDocument(client, 'template', this.template);
    const accepted = await this.apply(
      planCreate({
        id: this.eventId,
        template: this.template,
        templateVersion: version,
        parameters: parseParameters(this.params, template),
        reason: this.reason,
      }),
    );
    const created = `event ${this.eventId} is created, at version ${accepted.version}.\n`;
    if (!this.shouldWaitWarm) return {json: accepted, text: created};
    const watcher = new EventWatcher(client, this.eventId, line =>
      this.writeToStderr(line),
    );
    const status = await this.waitFor('the event to be warm', () =>
      watcher.poll(),
    );
    return {
      json: {...accepted, status},
      text: created + formatStatus(status),
    };
  }
}

/** `mimosatack event change`. */
import {Command, Option} from 'clipanion';
import {type Report, parseCount} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {planChange, parseParameters} from '../../plans/event_plans.js';
import {readDocument} from '../document/read_version.js';

export class ChangeEventCommand extends ChangingCommand {
  static override paths = [['event', 'change']];
  static override usage = Command.Usage({
    category: 'Events',
    description: 'Change parameters of an event',
    examples: [
      [
        'Move the start',
        '$0 event change friday --param start=2026-05-01T17:00:00Z',
      ],
    ],
  });

  eventId = Option.String({name: 'id'});
  params = Option.Array('--param', [], {
    description: 'A parameter as name=value; a list is separated by commas',
  });
  unset = Option.Array('--unset', [], {
    description: 'A parameter that goes back to its default',
  });
  templateVersion = Option.String('--template-version', {
    description: 'Keep the event on this version of the template',
  });

  protected async perform(): Promise<Report> {
    const version = parseCount(this.templateVersion, '--template-version');
    const client = await this.connect();
    const event = await readDocument(client, 'event', this.eventId);
    const template = await readDocument(
      client,
      'template',
      String(event.content['template']),
    );
    const accepted = await this.apply(
      planChange(event, {
        parameters: parseParameters(this.params, template),
        unset: this.unset,
        templateVersion: version,
        reason: this.reason,
      }),
    );
    return {
      json: accepted,
      text: `event ${this.eventId} is at version ${accepted.version}.\n`,
    };
  }
}

/** `mimosatack event status` and `event watch`. */
import {Command, Option} from 'clipanion';
import {AdminCommand, type Report} from '../../base_command.js';
import {WaitingCommand} from '../../changing_command.js';
import {formatStatus} from './format_status.js';
import {EventWatcher, readEventStatus} from './watch_event.js';

export class EventStatusCommand extends AdminCommand {
  static override paths = [['event', 'status']];
  static override usage = Command.Usage({
    category: 'Events',
    description: 'Show how far the replicas of an event are',
  });

  eventId = Option.String({name: 'id'});

  protected async perform(): Promise<Report> {
    const status = await readEventStatus(await this.connect(), this.eventId);
    return {json: status, text: formatStatus(status)};
  }
}

export class WatchEventCommand extends WaitingCommand {
  static override paths = [['event', 'watch']];
  static override usage = Command.Usage({
    category: 'Events',
    description: 'Wait until an event is warm, and show its progress',
  });

  eventId = Option.String({name: 'id'});

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const watcher = new EventWatcher(client, this.eventId, line =>
      this.writeToStderr(line),
    );
    const status = await this.waitFor('the event to be warm', () =>
      watcher.poll(),
    );
    return {json: status, text: formatStatus(status)};
  }
}

/** `mimosatack replica list`. */
import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {AdminCommand, type Report} from '../../base_command.js';
import {formatTable} from '../../print/table.js';
import {formatTime} from '../../print/times.js';

const slotSchema = z.looseObject({
  slotId: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  backendServerId: z.string(),
  purpose: z.looseObject({for: z.string(), eventId: z.string().optional()}),
  status: z.string(),
  replicaStatus: z.string(),
  loadAtMs: z.number(),
  untilMs: z.number(),
});

/** Lists all replica placements, loaded or not. */
export class ListReplicasCommand extends AdminCommand {
  static override paths = [['replica', 'list']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'List the decided replicas',
  });

  event = Option.String('--event', {
    description: 'Only for this event',
  });
  model = Option.String('--model', {
    description: 'Only of this model',
  });
  backendServer = Option.String('--backend-server', {
    description: 'Only on this backend server',
  });

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const {event, model, backendServer} = this;
    const items = await client.list(
      '/admin/v1/slots',
      {event, model, backendServer},
      slotSchema,
    );
    const text = formatTable(items, [
      {title: 'model', read: slot => slot.model},
      {title: 'version', read: slot => slot.version},
      {title: 'adapters', read: slot => slot.adapters.join(',')},
      {title: 'backend server', read: slot => slot.backendServerId},
      {title: 'for', read: slot => slot.purpose.eventId ?? 'requests'},
      {title: 'decided', read: slot => slot.status},
      {title: 'replica', read: slot => slot.replicaStatus},
      {title: 'load at', read: slot => formatTime(slot.loadAtMs)},
      {title: 'until', read: slot => formatTime(slot.untilMs)},
    ]);
    return {json: {items}, text};
  }
}

export const REPLICA_COMMANDS = [ListReplicasCommand];

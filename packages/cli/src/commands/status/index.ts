/** `mimosatack status` and `mimosatack in-force`. */
import {Command, Option, UsageError} from 'clipanion';
import {z} from 'zod';
import {inForceSchema} from '../../responses.js';
import {AdminCommand, type Report, parseCount} from '../../base_command.js';
import {EXIT_CODES} from '../../exit_codes.js';
import {formatFields, formatTable} from '../../print/table.js';

const statusSchema = z.looseObject({
  nodeName: z.string(),
  release: z.string(),
  nextOffset: z.number(),
  sequence: z.number(),
  isLogReachable: z.boolean(),
  rulesVersion: z.number(),
  slots: z.number(),
  backendServers: z.number(),
  liveNodes: z.number(),
  auditPending: z.number(),
  digest: z.string(),
});

export class StatusCommand extends AdminCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show how far a node has got',
  });

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const status = await client.send(
      {method: 'GET', path: '/admin/v1/status'},
      statusSchema,
    );
    const text = formatFields({
      node: status.nodeName,
      release: status.release,
      'log service reachable': status.isLogReachable,
      'next offset': status.nextOffset,
      'records folded': status.sequence,
      'rules version': status.rulesVersion,
      'live nodes': status.liveNodes,
      'backend servers': status.backendServers,
      'decided replicas': status.slots,
      'changes not yet in the audit trail': status.auditPending,
      digest: status.digest,
    });
    return {json: status, text};
  }
}

export class InForceCommand extends AdminCommand {
  static override paths = [['in-force']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show on which nodes a change is in force',
    details:
      'A change tells its sequence when it is accepted. Ends with 1 while a live node lacks it.',
  });

  sequence = Option.String({name: 'sequence'});

  protected async perform(): Promise<Report> {
    const sequence = parseCount(this.sequence, 'sequence');
    if (!sequence) throw new UsageError('The sequence begins at 1.');
    const client = await this.connect();
    const view = await client.send(
      {method: 'GET', path: '/admin/v1/in-force', query: {sequence}},
      inForceSchema,
    );
    const text = formatTable(view.nodes, [
      {title: 'node', read: node => node.nodeName},
      {title: 'status', read: node => node.status},
      {title: 'failure domain', read: node => node.failureDomain},
      {title: 'next offset', read: node => node.nextOffset},
      {title: 'in force', read: node => node.isInForce},
    ]);
    return {
      json: view,
      text,
      exitCode: view.isInForceEverywhere ? EXIT_CODES.ok : EXIT_CODES.refused,
    };
  }
}

export const STATUS_COMMANDS = [StatusCommand, InForceCommand];

/** `mimosatack host nodes` and `host backend-servers`. */
import {Command} from 'clipanion';
import {z} from 'zod';
import {AdminCommand, type Report} from '../../base_command.js';
import {formatTable} from '../../print/table.js';

const nodeSchema = z.looseObject({
  nodeName: z.string(),
  status: z.string(),
  failureDomain: z.string(),
  callerBaseUrl: z.string(),
  adminBaseUrl: z.string(),
  release: z.string(),
  nextOffset: z.number().nullable(),
});

const serverSchema = z.looseObject({
  backendServerId: z.string(),
  pool: z.string(),
  failureDomain: z.string(),
  fencing: z.string(),
  memoryMib: z.number(),
  claim: z.looseObject({holder: z.string()}).nullable(),
  isDraining: z.boolean(),
  isReachable: z.boolean().nullable(),
  decidedReplicas: z.number(),
  load: z
    .looseObject({runningRequests: z.number(), queuedRequests: z.number()})
    .nullable(),
});

/** Lists the nodes that the contacted node knows. */
export class ListNodesCommand extends AdminCommand {
  static override paths = [
    ['host', 'nodes'],
    ['node', 'list'],
  ];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'List the nodes as one of them sees them',
  });

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const items = await client.list('/admin/v1/nodes', {}, nodeSchema);
    const text = formatTable(items, [
      {title: 'node', read: node => node.nodeName},
      {title: 'status', read: node => node.status},
      {title: 'failure domain', read: node => node.failureDomain},
      {title: 'release', read: node => node.release},
      {title: 'next offset', read: node => node.nextOffset},
      {title: 'callers', read: node => node.callerBaseUrl},
      {title: 'operators', read: node => node.adminBaseUrl},
    ]);
    return {json: {items}, text};
  }
}

/** Lists the backend servers and the node that controls each of them. */
export class ListBackendServersCommand extends AdminCommand {
  static override paths = [
    ['host', 'backend-servers'],
    ['backend-server', 'list'],
  ];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'List the backend servers and who sends them orders',
  });

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const path = '/admin/v1/backend-servers';
    const items = await client.list(path, {}, serverSchema);
    const text = formatTable(items, [
      {title: 'backend server', read: server => server.backendServerId},
      {title: 'pool', read: server => server.pool},
      {title: 'failure domain', read: server => server.failureDomain},
      {title: 'steward', read: server => server.claim?.holder},
      {title: 'fencing', read: server => server.fencing},
      {title: 'memory MiB', read: server => server.memoryMib},
      {title: 'replicas', read: server => server.decidedReplicas},
      {title: 'running', read: server => server.load?.runningRequests},
      {title: 'queued', read: server => server.load?.queuedRequests},
      {title: 'reachable', read: server => server.isReachable},
      {title: 'draining', read: server => server.isDraining},
    ]);
    return {json: {items}, text};
  }
}

/** `mimosatack nodes`. */
import {toTypedError} from '@mimosatack/errors';
import {Command, Option, UsageError} from 'clipanion';
import {request} from 'undici';
import {BaseCommand, type Report} from '../../base_command.js';
import {EXIT_CODES} from '../../exit_codes.js';
import {formatTable} from '../../print/table.js';
import {
  type NodeState,
  findNodeFaults,
  listTeams,
  makeUnreachableNode,
  readNodeMetrics,
} from './read_node_metrics.js';

/** Keeps an unreachable node from delaying the report on the others. */
const ANSWER_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;

/** Shows which nodes schedule, and the configuration of each node. */
export class NodesCommand extends BaseCommand {
  static override paths = [['nodes']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show who schedules and how far each node has got',
    details:
      'Takes the metrics addresses of the nodes. Ends with 1 when one does not answer, when configurations differ, or when not exactly one schedules.',
    examples: [
      ['Two nodes', '$0 nodes http://10.1.0.38:9464 http://10.2.0.40:9464'],
    ],
  });

  addresses = Option.Rest({name: 'metrics-urls', required: 1});

  protected async perform(): Promise<Report> {
    const urls = this.addresses.map(toMetricsUrl);
    const nodes = await Promise.all(urls.map(readNode));
    const faults = findNodeFaults(nodes);
    const table = formatTable(nodes, [
      {title: 'node', read: node => node.metricsUrl},
      {title: 'schedules', read: node => node.isScheduling},
      {title: 'configuration', read: node => node.configurationVersion},
      {title: 'servers', read: node => node.serversKnown},
      {title: 'list age ms', read: node => node.serversAgeMs},
      {title: 'keys age ms', read: node => node.configurationAgeMs},
      {title: 'contained', read: node => node.containedRequests},
      {title: 'error', read: node => node.error},
    ]);
    const teams = listTeams(nodes);
    const teamTable = formatTable(teams, [
      {title: 'team', read: ({team}) => team},
      {title: 'quota a second', read: ({rate}) => rate},
      {title: 'left', read: ({left}) => Math.round(left)},
      {title: 'spent unsettled', read: ({unsettled}) => unsettled},
    ]);
    return {
      json: {nodes, teams, faults},
      text: [
        table,
        teams.length > 0 ? teamTable : '',
        ...faults.map(fault => `${fault}\n`),
      ].join(''),
      exitCode: faults.length === 0 ? EXIT_CODES.ok : EXIT_CODES.refused,
    };
  }
}

function toMetricsUrl(address: string): string {
  const url = URL.canParse(address) ? new URL(address) : null;
  if (!url || !/^https?:$/.test(url.protocol)) {
    throw new UsageError(
      `"${address}" is no address; give one like http://10.1.0.38:9464.`,
    );
  }
  if (url.pathname === '/') url.pathname = '/metrics';
  return url.href;
}

async function readNode(metricsUrl: string): Promise<NodeState> {
  try {
    const response = await request(metricsUrl, {
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return response.statusCode === STATUS_OK
      ? readNodeMetrics(metricsUrl, text)
      : makeUnreachableNode(metricsUrl, `status ${response.statusCode}`);
  } catch (thrown) {
    return makeUnreachableNode(metricsUrl, toTypedError(thrown).summary);
  }
}

export const NODES_COMMANDS = [NodesCommand];

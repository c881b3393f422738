/** Derives the state of nodes and team quotas from metrics of the nodes. */
import parsePrometheus from 'parse-prometheus-text-format';

/** State of one node; a metric that the node does not export is null. */
export interface NodeState {
  metricsUrl: string;
  /** Null when the node responded. */
  error: string | null;
  configurationVersion: number | null;
  serversKnown: number | null;
  /** Age of the last complete list of backend servers. */
  serversAgeMs: number | null;
  isScheduling: boolean | null;
  /** Requests that are blocked because backend servers crashed serving them. */
  containedRequests: number | null;
  /** Time since the configuration and its API keys were confirmed as newest. */
  configurationAgeMs: number | null;
  teams: readonly TeamState[];
}

/** State of one team's quota, as a node reports it. */
export interface TeamState {
  team: string;
  /** Quota per second. */
  rate: number;
  left: number;
  /** Charges not yet reported to the node that holds the quotas. */
  unsettled: number;
}

/** @param text metrics in the text format of Prometheus. */
export function readNodeMetrics(metricsUrl: string, text: string): NodeState {
  const families = parsePrometheus(text);
  const read = (name: string): number | null => {
    const value = families.find(family => family.name === name)?.metrics[0]
      ?.value;
    return value === undefined ? null : Number(value);
  };
  const readTeams = (name: string): Map<string, number> => {
    const metrics = families.find(family => family.name === name)?.metrics;
    return new Map(
      (metrics ?? []).map(({labels, value}) => [
        labels?.['team'] ?? '',
        Number(value),
      ]),
    );
  };
  const left = readTeams('mimosatack_quotas_level');
  const unsettled = readTeams('mimosatack_quotas_unsettled');
  const duties = read('mimosatack_duties_held');
  return {
    ...{metricsUrl, error: null},
    configurationVersion: read('mimosatack_configuration_version'),
    serversKnown: read('mimosatack_servers_known'),
    serversAgeMs: read('mimosatack_servers_age_ms'),
    isScheduling: duties === null ? null : duties > 0,
    containedRequests: read('mimosatack_containment_contained'),
    configurationAgeMs: read('mimosatack_configuration_age_ms'),
    teams: [...readTeams('mimosatack_quotas_rate')].map(([team, rate]) => ({
      ...{team, rate, left: left.get(team) ?? 0},
      unsettled: unsettled.get(team) ?? 0,
    })),
  };
}

export function makeUnreachableNode(
  metricsUrl: string,
  error: string,
): NodeState {
  return {
    ...{metricsUrl, error, configurationVersion: null, serversKnown: null},
    ...{serversAgeMs: null, isScheduling: null, containedRequests: null},
    ...{configurationAgeMs: null, teams: []},
  };
}

/** Describes inconsistencies among the nodes; empty when there are none. */
export function findNodeFaults(nodes: readonly NodeState[]): string[] {
  const responding = nodes.filter(({error}) => error === null);
  const unreachable = nodes.length - responding.length;
  const versions = new Set(
    responding.map(({configurationVersion}) => configurationVersion),
  );
  const schedulers = responding.filter(({isScheduling}) => isScheduling).length;
  const checks: Array<[boolean, string]> = [
    [unreachable > 0, `${unreachable} of ${nodes.length} nodes do not answer.`],
    [versions.size > 1, 'Nodes have different configurations.'],
    [responding.length > 0 && schedulers === 0, 'No node of these schedules.'],
    [
      schedulers > 1,
      `${schedulers} nodes schedule; all but one are out of touch.`,
    ],
  ];
  return checks.filter(([isFault]) => isFault).map(([, fault]) => fault);
}

/** Team quotas of the scheduling node, with unsettled charges of all nodes. */
export function listTeams(nodes: readonly NodeState[]): TeamState[] {
  const held = nodes.find(({isScheduling}) => isScheduling)?.teams ?? [];
  return held.map(state => ({
    ...state,
    unsettled: nodes
      .flatMap(({teams}) => teams)
      .filter(({team}) => team === state.team)
      .reduce((sum, {unsettled}) => sum + unsettled, 0),
  }));
}

/** What a node's metrics say of its part in the system. */
import parsePrometheus from 'parse-prometheus-text-format';

/** How far one node has got; null for what it does not tell. */
export interface NodeState {
  metricsUrl: string;
  /** Null when the node answered. */
  error: string | null;
  configurationVersion: number | null;
  serversKnown: number | null;
  /** Since the node's list of backend servers was last known to be whole. */
  serversAgeMs: number | null;
  isScheduling: boolean | null;
  /** Requests that are sent to no server, since servers ended under them. */
  containedRequests: number | null;
  /** Since its configuration, and so its keys, were known to be the newest. */
  configurationAgeMs: number | null;
  teams: readonly TeamState[];
}

/** What a node knows of one team's quota. */
export interface TeamState {
  team: string;
  /** The quota a second. */
  rate: number;
  left: number;
  /** Spent at the node and not yet known to the node that holds the quotas. */
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

export function makeSilentNode(metricsUrl: string, error: string): NodeState {
  return {
    ...{metricsUrl, error, configurationVersion: null, serversKnown: null},
    ...{serversAgeMs: null, isScheduling: null, containedRequests: null},
    ...{configurationAgeMs: null, teams: []},
  };
}

/** What is wrong with the nodes together, in words; empty when nothing is. */
export function findNodeFaults(nodes: readonly NodeState[]): string[] {
  const answering = nodes.filter(({error}) => error === null);
  const silent = nodes.length - answering.length;
  const versions = new Set(
    answering.map(({configurationVersion}) => configurationVersion),
  );
  const holders = answering.filter(({isScheduling}) => isScheduling).length;
  const checks: Array<[boolean, string]> = [
    [silent > 0, `${silent} of ${nodes.length} nodes do not answer.`],
    [versions.size > 1, 'Nodes have different configurations.'],
    [answering.length > 0 && holders === 0, 'No node of these schedules.'],
    [holders > 1, `${holders} nodes schedule; all but one are out of touch.`],
  ];
  return checks.filter(([isFault]) => isFault).map(([, fault]) => fault);
}

/** The teams' quotas, as the node that schedules holds them. */
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

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
}

/** @param text metrics in the text format of Prometheus. */
export function readNodeMetrics(metricsUrl: string, text: string): NodeState {
  const families = parsePrometheus(text);
  const read = (name: string): number | null => {
    const value = families.find(family => family.name === name)?.metrics[0]
      ?.value;
    return value === undefined ? null : Number(value);
  };
  const duties = read('mimosatack_duties_held');
  return {
    ...{metricsUrl, error: null},
    configurationVersion: read('mimosatack_configuration_version'),
    serversKnown: read('mimosatack_servers_known'),
    serversAgeMs: read('mimosatack_servers_age_ms'),
    isScheduling: duties === null ? null : duties > 0,
    containedRequests: read('mimosatack_containment_contained'),
  };
}

export function makeSilentNode(metricsUrl: string, error: string): NodeState {
  return {
    ...{metricsUrl, error, configurationVersion: null, serversKnown: null},
    ...{serversAgeMs: null, isScheduling: null, containedRequests: null},
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

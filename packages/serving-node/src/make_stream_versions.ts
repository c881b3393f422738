/** Connects the knowledge of streams' software versions to one node's other parts. */
import {type NodeLinks, type RegisteredNode} from '@mimosatack/node-links';
import {type FaultLog} from './fault_log.js';
import {type ServerFollower} from './server_follower.js';
import {type ServingNodeOptions} from './serving_node_options.js';
import {
  SERVICE_VERSIONS_KEY,
  StreamVersionsTask,
} from './stream_versions_task.js';

export interface StreamVersionsParts extends Pick<
  ServingNodeOptions,
  'clock' | 'platform' | 'settings'
> {
  self: RegisteredNode;
  servers: Pick<ServerFollower, 'list' | 'ageMs'>;
  faults: Pick<FaultLog, 'logRecordFault'>;
  /** Whether this node writes the record for all nodes. */
  isWriter: () => boolean;
  listNodes: () => readonly RegisteredNode[];
  findLinks: () => Pick<
    NodeLinks,
    'viaHolder' | 'sendStreamsBegun' | 'askForStream'
  >;
}

/** Leaves a caller who resumes a stream most of the time for the stream itself. */
const ASK_TIMEOUT_MS = 400;

export function makeStreamVersions(
  parts: StreamVersionsParts,
): StreamVersionsTask {
  const {clock, platform, settings, self, servers, isWriter, findLinks} = parts;
  const isOther = ({nodeName}: RegisteredNode) => nodeName !== self.nodeName;
  return new StreamVersionsTask({
    ...{clock, topic: platform.nodesTopic, isWriter},
    isFirstStart: settings.isFirstStart,
    listServers: () => servers.list(),
    listHosts: () => parts.listNodes().filter(isOther),
    serversAgeMs: () =>
      Math.min(servers.ageMs, findLinks().viaHolder.heldServersAgeMs),
    send: (address, message) => findLinks().sendStreamsBegun(address, message),
    ask: (address, ask) =>
      findLinks().askForStream(address, ask, ASK_TIMEOUT_MS),
    onFault: error =>
      parts.faults.logRecordFault(error, 'streams', SERVICE_VERSIONS_KEY),
  });
}

/** Builds the tasks that handle engines and their hosts. */
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {HttpEngineControl, HttpHostList} from '@mimosatack/platform';
import {type DaemonSettings} from '@mimosatack/settings';
import {HostListTask} from './host_list_task.js';
import {type HostWatch} from './host_watch.js';
import {type KnownProcesses} from './known_processes.js';
import {type NodeRanking} from './node_ranking.js';
import {
  ENGINE_TIMEOUT_MS,
  ORDER_DOUBT_MS,
  PLATFORM_TIMEOUT_MS,
  SUBMIT_TIMEOUT_MS,
} from './node_timings.js';
import {type DeadProcesses} from './dead_processes.js';
import {type Operations} from './operations.js';
import {type PeerTask} from './peer_task.js';
import {type ReportTask} from './report_task.js';
import {type StewardHints} from './steward_hints.js';
import {StewardTask} from './steward_task.js';

export interface EngineTaskParts {
  clock: Clock;
  logger: EventLogger;
  settings: DaemonSettings;
  follower: LogFollower;
  incarnation: string;
  ranking: NodeRanking;
  processes: KnownProcesses;
  deadProcesses: DeadProcesses;
  peers: PeerTask;
  reports: ReportTask;
  hints: StewardHints;
  hostWatch: HostWatch;
  /** A function, because the operations are built after the tasks. */
  operations: () => Operations;
  onFault: (thrown: unknown, task: string) => void;
}

export function makeStewardTask(parts: EngineTaskParts): StewardTask {
  const {clock, logger, follower, incarnation, onFault} = parts;
  const {ranking, processes, deadProcesses, reports, hints, operations} = parts;
  return new StewardTask(
    {
      ...{clock, logger, follower, incarnation},
      connect: (id, baseUrl) => connectEngine(parts.settings, id, baseUrl),
      findOwnRank: id => ranking.findOwnRank(`steward ${id}`),
      listSuccessors: id =>
        ranking
          .listTopRanked(`steward ${id}`)
          .map(member => member.incarnation),
      isKnown: other => processes.isKnown(other),
      isGone: other => processes.isGoneOrUnknown(other),
      findDeathEvidence: other => deadProcesses.findEvidence(other),
      publishReport: (report, term) => {
        operations().noteReport(report);
        reports.post({type: 'publish', report, term});
      },
      submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      orderDoubtMs: ORDER_DOUBT_MS,
      drain: hints.drain,
      findLoadTimes: slot => hints.findLoadTimes(slot),
    },
    onFault,
  );
}

export function makeHostListTask(parts: EngineTaskParts): HostListTask {
  const {clock, settings, follower, peers, deadProcesses, hostWatch} = parts;
  return new HostListTask(
    {
      ...{clock, follower},
      hostList: new HttpHostList({
        baseUrl: settings.hostListUrl,
        nodeId: settings.nodeName,
        timeoutMs: PLATFORM_TIMEOUT_MS,
      }),
      intervalMs: settings.pollIntervalMs,
      countNodes: () => peers.listUsable().length,
      connect: (id, baseUrl) => connectEngine(settings, id, baseUrl),
      onHosts: hosts => {
        deadProcesses.noteHosts(hosts);
        hostWatch.noteHosts(hosts);
      },
      submitTimeoutMs: SUBMIT_TIMEOUT_MS,
    },
    parts.onFault,
  );
}

function connectEngine(
  settings: DaemonSettings,
  backendServerId: string,
  baseUrl: string,
): HttpEngineControl {
  return new HttpEngineControl({
    ...{backendServerId, baseUrl, nodeId: settings.nodeName},
    timeoutMs: ENGINE_TIMEOUT_MS,
  });
}

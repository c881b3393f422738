/** Connects the containment of crashing requests to one node's other parts. */
import {type NodeLinks, type RegisteredNode} from '@mimosatack/node-links';
import {CONTAINED_KEY, ContainmentTask} from './containment_task.js';
import {type FaultLog} from './fault_log.js';
import {type ServingNodeOptions} from './serving_node_options.js';

export interface ContainmentParts extends Pick<
  ServingNodeOptions,
  'clock' | 'logger' | 'platform'
> {
  self: RegisteredNode;
  faults: Pick<FaultLog, 'logRecordFault'>;
  /** Whether this node writes the record for all nodes. */
  isWriter: () => boolean;
  findLinks: () => Pick<NodeLinks, 'holderChannel'>;
}

export function makeContainment(parts: ContainmentParts): ContainmentTask {
  const {clock, logger, platform, self, isWriter, findLinks} = parts;
  return new ContainmentTask({
    ...{clock, logger, isWriter, topic: platform.nodesTopic},
    incarnation: self.incarnation,
    askHolder: (ask, timeoutMs) =>
      findLinks().holderChannel.askForLease(ask, timeoutMs),
    tellHolder: release => findLinks().holderChannel.releaseLease(release),
    onFault: error =>
      parts.faults.logRecordFault(error, 'containment', CONTAINED_KEY),
  });
}

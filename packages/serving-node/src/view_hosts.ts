/** Describes all hosts as this node knows them. */
import {type NodeLinks} from '@mimosatack/node-links';
import {type HostsView} from '@mimosatack/share-limits';
import {type NodeRegister} from './node_register.js';

export function viewHosts(
  register: Pick<NodeRegister, 'list' | 'isRegistered'>,
  {viaHolder}: Pick<NodeLinks, 'viaHolder'>,
): HostsView {
  return {
    count: register.list().length,
    isConfirmed: register.isRegistered && viaHolder.isNodeListConfirmed,
  };
}

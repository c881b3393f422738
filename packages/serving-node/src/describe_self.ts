/** Describes this node to the other nodes. */
import {randomUUID} from 'node:crypto';
import {type RegisteredNode} from '@mimosatack/node-links';
import {formatAddress} from '@mimosatack/types';
import {type NodeSettings} from './node_settings.js';

const INCARNATION_LENGTH = 8;

/** Generates a new incarnation, which identifies one process of a node. */
export function describeSelf(settings: NodeSettings): RegisteredNode {
  return {
    nodeName: settings.nodeName,
    incarnation: randomUUID().slice(0, INCARNATION_LENGTH),
    peerAddress: formatAddress(settings.peerAddress),
    callerAddress: settings.callerAddress,
    failureDomain: settings.failureDomain,
    cores: settings.cores,
  };
}

/** A decided replica with how far its engine has got. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineBoard} from '@mimosatack/engine-board';
import {formatAdapterSlotId} from '@mimosatack/steward-orders';
import {type ReplicaStatus} from '@mimosatack/types';

/** What an engine says of a slot; `absent` when it holds nothing of it. */
export type SlotReplicaStatus = ReplicaStatus | 'absent';

/** A slot with what its engine last said. */
export interface ReplicaView extends Slot {
  replicaStatus: SlotReplicaStatus;
}

/** A replica is as far as the least advanced of its base and adapters. */
export function toReplicaView(slot: Slot, board: EngineBoard): ReplicaView {
  return {...slot, replicaStatus: findStatus(slot, board)};
}

function findStatus(slot: Slot, board: EngineBoard): SlotReplicaStatus {
  const replicas = board.find(slot.backendServerId)?.engine?.replicas ?? [];
  const parts = [
    slot.slotId,
    ...slot.adapters.map(adapter => formatAdapterSlotId(slot.slotId, adapter)),
  ].map(id => replicas.find(replica => replica.slotId === id)?.status);
  if (parts[0] === undefined) return 'absent';
  return (
    parts.find(status => status !== 'warm') ??
    (parts.includes(undefined) ? 'loading' : 'warm')
  );
}

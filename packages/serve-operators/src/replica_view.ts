/** A decided replica with how far its engine has got. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineBoard} from '@mimosatack/engine-board';
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {type ReplicaStatus} from '@mimosatack/types';

/** What an engine says of a slot; `absent` when it holds nothing of it. */
export type SlotReplicaStatus = ReplicaStatus | 'absent';

/** A slot with what its engine last said. */
export interface ReplicaView extends Slot {
  replicaStatus: SlotReplicaStatus;
}

/** A slot is warm once the base model and all its adapters are. */
export function toReplicaView(slot: Slot, board: EngineBoard): ReplicaView {
  return {...slot, replicaStatus: findStatus(slot, board)};
}

function findStatus(slot: Slot, board: EngineBoard): SlotReplicaStatus {
  const replicas =
    board
      .find(slot.backendServerId)
      ?.engine?.replicas.filter(
        replica => readBaseSlotId(replica.slotId) === slot.slotId,
      ) ?? [];
  const base = replicas.find(replica => replica.slotId === slot.slotId);
  if (!base) return 'absent';
  const warm = replicas.filter(replica => replica.status === 'warm');
  const isPartial = warm.length < 1 + slot.adapters.length;
  return base.status === 'warm' && isPartial ? 'loading' : base.status;
}

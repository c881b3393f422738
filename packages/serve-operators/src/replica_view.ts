/** Combines decided slots with the replica status of their engines. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineBoard} from '@mimosatack/engine-board';
import {formatAdapterSlotId} from '@mimosatack/steward-orders';
import {type ReplicaStatus} from '@mimosatack/types';

/** The status that the engine reports; `absent` when it reports none. */
export type SlotReplicaStatus = ReplicaStatus | 'absent';

/** A slot with the replica status last reported by its engine. */
export interface ReplicaView extends Slot {
  replicaStatus: SlotReplicaStatus;
}

/** A replica is warm only when its base model and all adapters are warm. */
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

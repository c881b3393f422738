/** The weight store without its HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type WeightStoreLimits} from '@mimosatack/platform';
import {type ModelRef, formatModelRef} from '@mimosatack/types';
import {FaultSet} from '../shared/fault_set.js';
import {NO_PLATFORM_FAULTS, type PlatformFaults} from './log_service.js';
import {type Transfer, TransferModel} from './transfer_model.js';

/** Faults of the weight store. */
export interface WeightStoreFaults extends PlatformFaults {
  /** Factor by which transfers slow down, including active ones. */
  slowdownFactor: number;
}

/** One transfer, as ground truth for tests. */
export interface TransferObservation {
  checkpoint: string;
  nodeId: string | null;
  startedMs: number;
  endedMs: number | null;
  status: 'active' | 'done' | 'cancelled';
}

/** A checkpoint that an engine fetches. */
export interface FetchRequest {
  ref: ModelRef;
  sizeFactor: number;
  nodeId: string | null;
}

/** A rate-limited store from which engines load concurrently. */
export class WeightStoreStandIn {
  readonly faults = new FaultSet<WeightStoreFaults>(
    {...NO_PLATFORM_FAULTS, slowdownFactor: 1},
    () => this.model.setSlowdown(this.faults.values.slowdownFactor),
  );
  private readonly model: TransferModel;
  private transfers: TransferObservation[] = [];

  constructor(
    private readonly clock: Clock,
    readonly limits: WeightStoreLimits,
  ) {
    this.model = new TransferModel(clock, limits);
  }

  /** Starts a transfer; `onDone` is not called after a cancel. */
  fetch(request: FetchRequest, onDone: () => void): Transfer {
    const observation: TransferObservation = {
      checkpoint: formatModelRef(request.ref),
      nodeId: request.nodeId,
      startedMs: this.clock.wallMs(),
      endedMs: null,
      status: 'active',
    };
    this.transfers.push(observation);
    const transfer = this.model.start(request.sizeFactor, () => {
      this.end(observation, 'done');
      onDone();
    });
    return {
      cancel: () => {
        transfer.cancel();
        this.end(observation, 'cancelled');
      },
    };
  }

  observe(): {activeTransfers: number; transfers: TransferObservation[]} {
    const {activeTransfers} = this.model;
    return {activeTransfers, transfers: this.transfers};
  }

  resetObservation(): void {
    this.transfers = this.transfers.filter(each => each.status === 'active');
  }

  private end(
    observation: TransferObservation,
    status: 'done' | 'cancelled',
  ): void {
    if (observation.status !== 'active') return;
    observation.status = status;
    observation.endedMs = this.clock.wallMs();
  }
}

import {type AgreedState} from '@mimosatack/agreed-state';

/** Caches the digest of a state until the state changes. */
export class StateDigest {
  private state: AgreedState | null = null;
  private nextOffset = -1;
  private digest = '';

  of(state: AgreedState): string {
    if (this.state !== state || this.nextOffset !== state.nextOffset) {
      this.state = state;
      this.nextOffset = state.nextOffset;
      this.digest = state.digest();
    }
    return this.digest;
  }
}

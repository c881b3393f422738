/** Which nodes reach one server. */

/** An unreachable server gets no request of the node for this time. */
const UNREACHABLE_PAUSE_MS = 500;
/** Reports further apart do not confirm each other. */
const REPORT_MEMORY_MS = 5_000;

/**
 * Tells a server that is gone from one that a single node cannot reach. Guards against one node
 * with a broken network that closes a server for all nodes.
 */
export class NodeReach {
  /** When nodes last reported that they do not reach the server. */
  private readonly reportedAtMs = new Map<string, number>();
  /** The last report since which no node has had a response; -Infinity for none. */
  private unconfirmedAtMs = -Infinity;

  isPaused(nodeAddress: string, nowMs: number): boolean {
    const atMs = this.reportedAtMs.get(nodeAddress) ?? -Infinity;
    return nowMs - atMs < UNREACHABLE_PAUSE_MS;
  }

  recordResponse(nodeAddress: string): void {
    this.reportedAtMs.delete(nodeAddress);
    this.unconfirmedAtMs = -Infinity;
  }

  /**
   * Returns whether the server counts as unreachable for all nodes: another node has reported
   * it too, or this one once more after its pause, without a response to any node in between.
   */
  recordUnreachable(nodeAddress: string, nowMs: number): boolean {
    // Requests that were under way together fail together.
    const isRepeated = this.isPaused(nodeAddress, nowMs);
    this.removeOld(nowMs);
    if (isRepeated) return false;
    this.reportedAtMs.set(nodeAddress, nowMs);
    const isConfirmed = nowMs - this.unconfirmedAtMs < REPORT_MEMORY_MS;
    this.unconfirmedAtMs = nowMs;
    return isConfirmed;
  }

  private removeOld(nowMs: number): void {
    this.reportedAtMs.forEach((atMs, nodeAddress) => {
      if (nowMs - atMs >= REPORT_MEMORY_MS) {
        this.reportedAtMs.delete(nodeAddress);
      }
    });
  }
}

/** The queue of member updates to gossip. */

/** Holds names only; the sender reads the current update when sending. */
export class UpdateQueue {
  private readonly transmitCounts = new Map<string, number>();

  /** Queues the member's update and resets its transmission count. */
  add(nodeName: string): void {
    this.transmitCounts.set(nodeName, 0);
  }

  delete(nodeName: string): void {
    this.transmitCounts.delete(nodeName);
  }

  /**
   * Returns the members whose updates to send next, least transmitted first,
   * and drops updates that have been sent `limit` times.
   */
  take(maxCount: number, limit: number): string[] {
    if (maxCount <= 0 || this.transmitCounts.size === 0) return [];
    const names = [...this.transmitCounts]
      .sort(([, first], [, second]) => first - second)
      .slice(0, maxCount)
      .map(([nodeName]) => nodeName);
    names.forEach(nodeName => this.recordTransmission(nodeName, limit));
    return names;
  }

  private recordTransmission(nodeName: string, limit: number): void {
    const sentCount = (this.transmitCounts.get(nodeName) ?? 0) + 1;
    if (sentCount >= limit) this.transmitCounts.delete(nodeName);
    else this.transmitCounts.set(nodeName, sentCount);
  }
}

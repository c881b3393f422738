/** Which members' updates still have to be passed on, and how often. */

/** Holds names only; the update itself is read when it is sent. */
export class UpdateQueue {
  private readonly sentCounts = new Map<string, number>();

  /** Begins to spread the member's update, anew if it was being spread. */
  add(nodeName: string): void {
    this.sentCounts.set(nodeName, 0);
  }

  delete(nodeName: string): void {
    this.sentCounts.delete(nodeName);
  }

  /**
   * The members whose updates ride on the next message, those sent least
   * often first. An update is dropped once it was sent `limit` times.
   */
  take(maxCount: number, limit: number): string[] {
    if (maxCount <= 0 || this.sentCounts.size === 0) return [];
    const names = [...this.sentCounts]
      .sort(([, first], [, second]) => first - second)
      .slice(0, maxCount)
      .map(([nodeName]) => nodeName);
    names.forEach(nodeName => this.countSending(nodeName, limit));
    return names;
  }

  private countSending(nodeName: string, limit: number): void {
    const sentCount = (this.sentCounts.get(nodeName) ?? 0) + 1;
    if (sentCount >= limit) this.sentCounts.delete(nodeName);
    else this.sentCounts.set(nodeName, sentCount);
  }
}

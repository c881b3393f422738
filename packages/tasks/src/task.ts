/** Tasks in the manner of actors: each owns its state and receives messages. */

/** Receives errors of message handlers; the task continues after an error. */
export type TaskErrorHandler = (error: unknown, taskName: string) => void;

/** Handles messages one at a time, in the order in which they were posted. */
export abstract class Task<M> {
  private readonly queue: M[] = [];
  private draining: Promise<void> | null = null;
  private isStopped = false;

  protected constructor(
    readonly taskName: string,
    private readonly onError: TaskErrorHandler,
  ) {}

  /** Whether a message is queued or being handled. */
  get isBusy(): boolean {
    return this.draining !== null;
  }

  /** Enqueues a message; a stopped task drops it. */
  post(message: M): void {
    if (this.isStopped) return;
    this.queue.push(message);
    this.draining ??= this.drain();
  }

  /** Drops queued messages and waits for the message being handled. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.queue.length = 0;
    await this.draining;
  }

  protected abstract handle(message: M): void | Promise<void>;

  private async drain(): Promise<void> {
    await Promise.resolve();
    let message = this.queue.shift();
    while (message !== undefined) {
      await this.handleAndReport(message);
      message = this.queue.shift();
    }
    this.draining = null;
  }

  private async handleAndReport(message: M): Promise<void> {
    try {
      await this.handle(message);
    } catch (thrown) {
      this.onError(thrown, this.taskName);
    }
  }
}

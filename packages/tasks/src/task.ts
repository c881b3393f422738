/** Tasks own their sockets and their state and talk by messages. */

/** Told of what a task could not handle; a task never ends by a message. */
export type TaskErrorHandler = (error: unknown, taskName: string) => void;

/**
 * Handles its messages one after the other, in the order they were posted.
 * An error in one message is reported and the next message is handled.
 */
export abstract class Task<M> {
  private readonly queue: M[] = [];
  private draining: Promise<void> | null = null;
  private isStopped = false;

  protected constructor(
    readonly taskName: string,
    private readonly onError: TaskErrorHandler,
  ) {}

  /** Whether a message is queued or in hand. */
  get isBusy(): boolean {
    return this.draining !== null;
  }

  /** Puts a message at the end of the queue; dropped once stopped. */
  post(message: M): void {
    if (this.isStopped) return;
    this.queue.push(message);
    this.draining ??= this.drain();
  }

  /** Drops what is queued, then waits for the message in hand. */
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
      await this.handleOne(message);
      message = this.queue.shift();
    }
    this.draining = null;
  }

  private async handleOne(message: M): Promise<void> {
    try {
      await this.handle(message);
    } catch (thrown) {
      this.onError(thrown, this.taskName);
    }
  }
}

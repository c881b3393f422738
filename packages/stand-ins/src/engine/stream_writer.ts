/** Writes the event stream of a request, subject to stream faults. */
import {type ServerResponse} from 'node:http';
import {type EngineStandIn} from './engine_core.js';
import {formatChunk} from './completion.js';
import {type RequestRun} from './request_batch.js';

const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

/** Sends the stream of one run on one connection. */
export class StreamWriter {
  private nextId: number;
  private sentChunks = 0;
  /** An event that is sent after its successor (`reorderFraction`). */
  private heldEvent: string | undefined;
  private isFinished = false;
  private readonly resetAfterChunks: number;

  /** @param from the id of the first event to send. */
  constructor(
    private readonly core: EngineStandIn,
    private readonly run: RequestRun,
    private readonly response: ServerResponse,
    from: number,
  ) {
    this.nextId = from;
    this.resetAfterChunks = core.faults.take('resetMidStream')
      ? core.faults.values.resetAfterChunks
      : Infinity;
  }

  /** Sends the existing chunks, then each new one. */
  start(): void {
    this.response.writeHead(200, STREAM_HEADERS);
    this.response.flushHeaders();
    this.run.onProgress(() => this.sendNewChunks());
    this.sendNewChunks();
  }

  private sendNewChunks(): void {
    if (this.isFinished) return;
    const newChunks = this.run.chunks.slice(this.nextId);
    newChunks.forEach(chunk => this.sendChunk(this.nextId++, chunk));
    if (this.sentChunks >= this.resetAfterChunks) return this.reset();
    if (this.run.isEnded) this.finish();
  }

  private sendChunk(id: number, chunk: string): void {
    if (this.sentChunks >= this.resetAfterChunks) return;
    this.sentChunks += 1;
    const {faults, random} = this.core;
    const {reorderFraction, doubleFraction} = faults.values;
    const event = formatEvent(id, this.applyCrossedAnswer(id, chunk));
    const isHeld = !this.heldEvent && random.nextFraction() < reorderFraction;
    if (isHeld) {
      this.heldEvent = event;
      return;
    }
    const isDoubled = random.nextFraction() < doubleFraction;
    this.write(isDoubled ? event + event : event);
    this.releaseHeld();
  }

  /** The chunk, or a chunk of another request (`crossedAnswers`). */
  private applyCrossedAnswer(id: number, chunk: string): string {
    const {core, run} = this;
    if (!core.faults.take('crossedAnswers')) return chunk;
    const other = core.findOtherRun(run);
    return other?.chunks[id] ?? other?.chunks[0] ?? makeForeignChunk(run);
  }

  private releaseHeld(): void {
    if (this.heldEvent !== undefined) this.write(this.heldEvent);
    this.heldEvent = undefined;
  }

  private finish(): void {
    this.releaseHeld();
    const {outcome} = this.run.observation;
    if (outcome === 'cut-off') return this.reset();
    if (outcome === 'finished') {
      this.write(formatEvent(this.run.chunks.length, '[DONE]'));
    }
    this.isFinished = true;
    this.response.end();
  }

  /** Destroys the connection after flushing written data. */
  private reset(): void {
    this.releaseHeld();
    this.isFinished = true;
    this.response.write('', () => this.response.destroy());
  }

  private write(event: string): void {
    if (!this.response.destroyed) this.response.write(event);
  }
}

function formatEvent(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

function makeForeignChunk({plan}: RequestRun): string {
  const {header} = plan;
  const requestId = `not-${header.requestId}`;
  return formatChunk({...header, requestId}, 'foreign ', false);
}

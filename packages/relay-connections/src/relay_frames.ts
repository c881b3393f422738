/**
 * The frames in which a relaying host passes on what a backend server sends. The end and
 * the reset of the server's connection are frames of their own, so that the relaying host's
 * own end, such as that of a killed process, is not taken for them.
 *
 * A frame is its type (1 byte), the length of its payload (4 bytes, big-endian) and the payload.
 */
import {Transform, type TransformCallback} from 'node:stream';

export type RelayFrameType =
  | 'data'
  /** The server ended its connection; nothing follows. */
  | 'end'
  /** The server reset its connection; nothing follows. */
  | 'reset'
  /** The relaying host is about to stop; no further call should be sent. */
  | 'retire';

const FRAME_CODES = {data: 0, end: 1, reset: 2, retire: 3} as const;
const FRAME_TYPES: ReadonlyMap<number, RelayFrameType> = new Map(
  Object.entries(FRAME_CODES).map(([type, code]) => [
    code,
    type as RelayFrameType,
  ]),
);
const HEADER_BYTES = 5;
const LENGTH_OFFSET = 1;

function encodeFrame(type: RelayFrameType, payload?: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt8(FRAME_CODES[type]);
  header.writeUInt32BE(payload?.length ?? 0, LENGTH_OFFSET);
  return payload ? Buffer.concat([header, payload]) : header;
}

/** Frames the bytes of a server's connection. */
export class RelayFrameEncoder extends Transform {
  private isReset = false;

  /** Ends the frames as those of a connection that the server has reset. */
  endAsReset(): void {
    if (this.writableEnded || this.destroyed) return;
    this.isReset = true;
    this.end();
  }

  /** Announces that this host is about to stop. */
  retire(): void {
    if (this.writableEnded || this.destroyed) return;
    this.push(encodeFrame('retire'));
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name.
  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    done(null, encodeFrame('data', chunk));
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name.
  override _flush(done: TransformCallback): void {
    done(null, encodeFrame(this.isReset ? 'reset' : 'end'));
  }
}

/** What a chunk of a relayed connection holds. */
export interface DecodedFrames {
  /** Bytes of the server, in order. */
  data: Buffer;
  /** Whether the server's end or reset follows the data. */
  ending: 'end' | 'reset' | null;
  isRetiring: boolean;
}

/** Decodes frames from chunks that may hold parts of them. */
export class RelayFrameDecoder {
  private header = Buffer.alloc(0);
  /** Bytes of the current data frame that are still to come. */
  private missingBytes = 0;

  /** Throws on a frame of an unknown type. */
  decode(chunk: Buffer): DecodedFrames {
    const data: Buffer[] = [];
    let ending: DecodedFrames['ending'] = null;
    let isRetiring = false;
    let rest = chunk;
    while (rest.length > 0 && !ending) {
      if (this.missingBytes > 0) {
        const payload = rest.subarray(0, this.missingBytes);
        this.missingBytes -= payload.length;
        rest = rest.subarray(payload.length);
        data.push(payload);
        continue;
      }
      const needed = HEADER_BYTES - this.header.length;
      this.header = Buffer.concat([this.header, rest.subarray(0, needed)]);
      rest = rest.subarray(needed);
      if (this.header.length < HEADER_BYTES) break;
      const type = this.readHeader();
      if (type === 'retire') isRetiring = true;
      else if (type !== 'data') ending = type;
    }
    return {data: Buffer.concat(data), ending, isRetiring};
  }

  private readHeader(): RelayFrameType {
    const code = this.header.readUInt8();
    const type = FRAME_TYPES.get(code);
    if (!type) throw new Error(`A relayed frame has the unknown type ${code}.`);
    this.missingBytes = this.header.readUInt32BE(LENGTH_OFFSET);
    this.header = Buffer.alloc(0);
    return type;
  }
}

/** Decides when a caller's connection is done, so that a stop may close it. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

interface ConnectionState {
  /** Responses that are not written out yet, in the order of their requests. */
  readonly pending: Set<ServerResponse>;
  /** The response after which the connection ends; null if it stays open. */
  lastResponse: ServerResponse | null;
  /** `bytesRead` of the socket when nothing was pending any more. */
  idleBytesRead: number;
}

/**
 * A connection is done once each request that was read from it has a response and the last
 * byte of it is written out. Replaces `closeIdleConnections` of the server, which takes a
 * response for written out as soon as it has ended, and which `close` of the server calls.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private isStopping = false;

  constructor(server: Pick<Server, 'closeIdleConnections'>) {
    server.closeIdleConnections = () => this.closeDone();
  }

  /**
   * Has to be called for each request as it is read. Returns false for one that must not
   * run: the connection ends after an earlier response.
   */
  add({socket}: IncomingMessage, response: ServerResponse): boolean {
    const state = this.states.get(socket) ?? this.watch(socket);
    if (state.lastResponse !== null) return false;
    state.pending.add(response);
    closeWithConnection(socket, response);
    response.once('close', () => this.remove(socket, state, response));
    return true;
  }

  /** Whether a request of the connection has no complete response. */
  isPending(socket: Socket): boolean {
    return (this.states.get(socket)?.pending.size ?? 0) > 0;
  }

  /** Whether no request was read behind the one of this response. */
  isNewest({socket}: IncomingMessage, response: ServerResponse): boolean {
    return [...(this.states.get(socket)?.pending ?? [])].at(-1) === response;
  }

  /** Has to be called for a response that tells the caller that the connection ends. */
  endAfter({socket}: IncomingMessage, response: ServerResponse): void {
    const state = this.states.get(socket);
    if (state) state.lastResponse = response;
  }

  /** Closes connections that are done, and from now on each one as soon as it is. */
  closeDone(): void {
    this.isStopping = true;
    this.states.forEach((state, socket) => {
      // The head of a request may be read in part.
      if (socket.bytesRead === state.idleBytesRead) closeIfDone(socket, state);
    });
  }

  private watch(socket: Socket): ConnectionState {
    const state: ConnectionState = {
      ...{pending: new Set(), lastResponse: null, idleBytesRead: 0},
    };
    this.states.set(socket, state);
    socket.once('close', () => this.states.delete(socket));
    return state;
  }

  private remove(
    socket: Socket,
    state: ConnectionState,
    response: ServerResponse,
  ): void {
    state.pending.delete(response);
    if (state.pending.size > 0) return;
    state.idleBytesRead = socket.bytesRead;
    if (this.isStopping) closeIfDone(socket, state);
  }
}

function closeIfDone(socket: Socket, {pending}: ConnectionState): void {
  if (pending.size === 0) socket.destroySoon();
}

/**
 * Node emits no `close` for a response that is still queued behind another one when their
 * connection closes. What it holds would never be released.
 */
function closeWithConnection(socket: Socket, response: ServerResponse): void {
  const close = () => response.emit('close');
  socket.once('close', close);
  response.once('close', () => socket.off('close', close));
}

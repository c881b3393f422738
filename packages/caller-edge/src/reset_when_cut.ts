/** Ends the connection of a response that was cut off so that the caller notices. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

const unfinished = new WeakMap<Socket, Set<ServerResponse>>();

/**
 * Guards against a part of a response that an HTTP/1.0 caller takes for the whole of it:
 * without chunks, the response ends with its connection, so that one that is cut off has to
 * be reset, whoever closes it.
 */
export function resetWhenCut(
  {httpVersion, socket}: IncomingMessage,
  response: ServerResponse,
): void {
  if (httpVersion !== '1.0') return;
  const responses = unfinished.get(socket) ?? watchSocket(socket);
  responses.add(response);
  response.once('close', () => responses.delete(response));
}

function watchSocket(socket: Socket): Set<ServerResponse> {
  const responses = new Set<ServerResponse>();
  unfinished.set(socket, responses);
  const destroy = socket.destroy.bind(socket);
  socket.destroy = error => {
    // The reset calls `destroy` again.
    socket.destroy = destroy;
    const isCut = [...responses].some(one => !one.writableFinished);
    // After its own end, a socket can no longer be reset.
    return isCut && !socket.writableEnded
      ? socket.resetAndDestroy()
      : destroy(error);
  };
  // Node's HTTP server ends the connection of a caller that sends no more.
  socket.prependOnceListener('end', () => {
    if ([...responses].some(one => !one.writableEnded)) socket.destroy();
  });
  return responses;
}

// A stand-in of a plain runner (PROTOCOL.md, "Runners"): `slots` requests at once,
// a short queue, 503 with Mimosatack-Not-Executed beyond that, 421 for a request that
// expects another instance, and its own id of the request in every response.
import {createServer} from 'node:http';

const KEEP_ALIVE_S = 10;

export class PlainRunner {
  /** Runs, in the order of their starts: {requestId, atMs}. */
  runs = [];
  refusedIds = [];
  running = 0;
  queue = [];
  /** Bytes of an extra response, by connection; they go out with the next response. */
  late = new Map();
  /** Called with each response; true if a copy of it shall come once more, late. */
  isDoubled = () => false;

  constructor({id, service, slots = 6, queueLength = 6, workMs = () => 15}) {
    Object.assign(this, {id, service, slots, queueLength, workMs});
    this.server = createServer((request, response) =>
      this.receive(request, response),
    );
    this.server.keepAliveTimeout = KEEP_ALIVE_S * 1000;
  }

  async listen(ip = '127.0.0.1', port = 0) {
    await new Promise(resolve => this.server.listen(port, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  get record() {
    return {
      ...{service: this.service, address: this.address, zone: 'hall-a'},
      ...{version: 'v1', slots: this.slots, state: 'ready'},
      ...{cold_remaining_ms: 0, seq: 1},
    };
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      const requestId = request.headers['mimosatack-request-id'] ?? '';
      this.sendLate(response.socket, requestId);
      this.handle({requestId, request, response});
    });
  }

  handle(call) {
    const {request, response, requestId} = call;
    const expected = request.headers['mimosatack-expect-instance'];
    if (request.url === '/health') {
      response.writeHead(200, ['Mimosatack-Instance-Id', this.id]).end();
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      this.refusedIds.push(requestId);
      this.answer(call, 421, ['Mimosatack-Not-Executed', '1'], '');
      return;
    }
    if (this.running < this.slots) return this.run(call);
    if (this.queue.length < this.queueLength) {
      this.queue.push(call);
      return;
    }
    this.refusedIds.push(requestId);
    this.answer(call, 503, ['Mimosatack-Not-Executed', '1'], '');
  }

  run(call) {
    const {requestId} = call;
    this.running += 1;
    const run = {requestId, atMs: Math.round(performance.now())};
    this.runs.push(run);
    setTimeout(() => {
      this.running -= 1;
      const status = this.pickStatus?.(requestId) ?? 200;
      run.status = status;
      this.answer(
        call,
        status,
        ['Mimosatack-Server-Seal', sealOf(this.id, requestId)],
        bodyOf(requestId, status),
      );
      const next = this.queue.shift();
      if (next) this.run(next);
    }, this.workMs(requestId));
  }

  answer({requestId, response}, status, headers, body) {
    const load = [this.running, this.queue.length, this.slots].join(',');
    const all = [
      ...['Mimosatack-Request-Id', requestId],
      ...['Mimosatack-Server-Load', load],
      ...headers,
      ...['Content-Length', String(body.length)],
    ];
    const {socket} = response;
    response.writeHead(status, all).end(body);
    if (this.isDoubled({requestId, status})) {
      const lines = [];
      for (let at = 0; at < all.length; at += 2) {
        lines.push(`${all[at]}: ${all[at + 1]}\r\n`);
      }
      const bytes = `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n${body}`;
      this.late.set(socket, {requestId, bytes});
    }
  }

  /**
   * The extra response comes where the next response is expected. It waits for another
   * request than its own, so that the id always tells the two apart.
   */
  sendLate(socket, nextRequestId) {
    const extra = this.late.get(socket);
    if (extra === undefined || extra.requestId === nextRequestId) return;
    this.late.delete(socket);
    socket.write(extra.bytes);
    this.onLate?.(extra.requestId, nextRequestId);
  }
}

export function sealOf(id, requestId) {
  return `${id}.${requestId}`;
}

export function bodyOf(requestId, status = 200) {
  return `answer ${status} to ${requestId}`;
}

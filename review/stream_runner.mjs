// A stand-in of a model runner that holds one model: streams events, answers /report, and
// carries out no orders (409). A part of its answers has no length and ends with its
// connection, as RULES.md (MIXED) says that a runner's answer may.
import {createServer} from 'node:http';

export class StreamRunner {
  /** By request: {atMs, events, isUnframed, isAborted, isDone}. */
  runs = new Map();

  constructor({id, service, model, events, gapMs, isUnframed}) {
    Object.assign(this, {id, service, model, events, gapMs, isUnframed});
    this.server = createServer((request, response) =>
      this.receive(request, response),
    );
    this.server.keepAliveTimeout = 10_000;
  }

  async listen(ip = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  get models() {
    return [{name: this.model, version: 1, adapters: []}];
  }

  get record() {
    return {
      ...{service: this.service, address: this.address, zone: 'hall-a'},
      ...{version: 'v1', slots: 32, state: 'ready', cold_remaining_ms: 0},
      ...{seq: 1, models: this.models, stage: 'colocated'},
      at_hand: {in_memory: [], disk_resident: []},
    };
  }

  receive(request, response) {
    request.resume();
    request.on('error', () => undefined);
    request.on('end', () => {
      const expected = request.headers['mimosatack-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'Mimosatack-Not-Executed': '1'}).end();
      } else if (request.url === '/report') {
        this.sendReport(response);
      } else if (request.url === '/order') {
        response.writeHead(409, {'Content-Length': '0'}).end();
      } else {
        this.run(request.headers['mimosatack-request-id'], request, response);
      }
    });
  }

  sendReport(response) {
    const body = JSON.stringify({
      ...{stage: 'colocated', models: this.models, busy: false, seq: 0},
      ...{queue_depth: 0, in_flight: 0, kv_used: 0, kv_total: 106233},
      ...{handles: 0, incoming: []},
    });
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': body.length,
      })
      .end(body);
  }

  run(requestId, request, response) {
    const afterId = Number(request.headers['last-event-id'] ?? 0);
    const isUnframed = this.isUnframed();
    const run = {atMs: Math.round(performance.now()), isUnframed, sent: 0};
    this.runs.set(requestId, run);
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    let timer = null;
    response.on('error', () => undefined);
    response.once('close', () => {
      clearInterval(timer);
      run.isDone = response.writableFinished;
    });
    let id = afterId;
    timer = setInterval(() => {
      if (id === afterId) {
        response.writeHead(200, [
          ...['Mimosatack-Request-Id', requestId],
          ...['Mimosatack-Server-Seal', `${this.id}.${requestId}`],
          ...['Content-Type', 'text/event-stream'],
        ]);
      }
      id += 1;
      run.sent += 1;
      response.write(`id: ${id}\ndata: ${requestId}.${id}\n\n`);
      if (id < this.events) return;
      clearInterval(timer);
      response.end();
    }, this.gapMs);
  }
}

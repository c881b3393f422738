// A stand-in of a model runner without fences (`require_fence` false) that holds one model
// and carries out the loading and unloading of its adapters (PROTOCOL.md, Requests).
import {createServer} from 'node:http';

const ADAPTER_SLOTS = 8;
const ADAPTER_LOAD_MS = 8;

export class AdapterRunner {
  /** {atMs, holder, fencingToken, operation, adapter, status}, as they arrived. */
  orders = [];
  adapters = new Set();
  seq = 0;

  constructor({id, service, model, workMs}) {
    Object.assign(this, {id, service, model, workMs});
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
    return [{name: this.model, version: 1, adapters: [...this.adapters]}];
  }

  get record() {
    return {
      ...{service: this.service, address: this.address, zone: 'hall-a'},
      ...{version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0},
      ...{seq: 1, models: this.models, stage: 'colocated'},
      at_hand: {in_memory: [], disk_resident: []},
    };
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      const expected = request.headers['mimosatack-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'Mimosatack-Not-Executed': '1'}).end();
      } else if (request.url === '/report') {
        this.sendReport(response);
      } else if (request.url === '/order') {
        const order = JSON.parse(Buffer.concat(chunks).toString('utf8'));
        response.writeHead(this.carryOut(order), {'Content-Length': 0}).end();
      } else {
        this.run(request.headers, response);
      }
    });
  }

  carryOut(order) {
    const status = this.decide(order);
    const {holder, fencing_token: fencingToken, operation, adapter} = order;
    const atMs = Math.round(performance.now());
    this.orders.push({
      ...{atMs, holder, fencingToken, operation, adapter, status},
    });
    return status;
  }

  decide({operation, model, adapter, expected, holder, fencing_token: token}) {
    if (holder === undefined || token === undefined) return 400;
    if (model !== this.model) return 409;
    if (adapter === undefined) return operation === 'load' ? 200 : 409;
    if (expected !== undefined && expected !== this.seq) return 409;
    if (operation === 'unload') {
      this.adapters.delete(adapter);
      this.seq += 1;
      return 200;
    }
    if (this.adapters.has(adapter)) return 200;
    if (this.adapters.size >= ADAPTER_SLOTS) return 409;
    this.seq += 1;
    setTimeout(() => this.adapters.add(adapter), ADAPTER_LOAD_MS);
    return 202;
  }

  sendReport(response) {
    const body = JSON.stringify({
      ...{stage: 'colocated', models: this.models, busy: false},
      ...{seq: this.seq, queue_depth: 0, in_flight: 0, kv_used: 0},
      ...{kv_total: 251073, handles: 0, incoming: []},
    });
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': body.length,
      })
      .end(body);
  }

  run(headers, response) {
    const requestId = headers['mimosatack-request-id'];
    const [, adapter] = (headers['mimosatack-model'] ?? '').split('/');
    if (adapter !== undefined && !this.adapters.has(adapter)) {
      response
        .writeHead(421, {
          'Mimosatack-Request-Id': requestId,
          'Mimosatack-Not-Executed': '1',
        })
        .end();
      return;
    }
    setTimeout(() => {
      response.writeHead(200, [
        ...['Mimosatack-Request-Id', requestId],
        ...['Mimosatack-Server-Seal', `${this.id}.${requestId}`],
        ...['Content-Type', 'text/event-stream'],
      ]);
      response.end(`id: 1\ndata: ${requestId}.1\n\n`);
    }, this.workMs);
  }
}

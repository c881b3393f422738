/** A small stand-in of the platform's store, as PROTOCOL.md describes it. */
import http from 'node:http';

const LENGTH_BYTES = 4;

function encodeRecord(key, value) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return {key, value, bytes: Buffer.concat([length, content])};
}

function decodeRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(
      at + LENGTH_BYTES,
      at + LENGTH_BYTES + length,
    );
    const key = content.toString('utf8', 1, 1 + content[0]);
    records.push(
      encodeRecord(key, Buffer.from(content.subarray(1 + content[0]))),
    );
    at += LENGTH_BYTES + length;
  }
  return records;
}

export class Store {
  topics = new Map();
  waiters = new Map();
  servers = [];
  /** The machine that last wrote under a condition. */
  lastWriter = null;

  /** Resolves with the address for one machine, or for all. */
  listen(machine = null) {
    const server = http.createServer((request, response) =>
      this.receive(request, response, machine),
    );
    this.servers.push(server);
    return new Promise(resolve =>
      server.listen(0, '127.0.0.1', () =>
        resolve(`127.0.0.1:${server.address().port}`),
      ),
    );
  }

  close() {
    this.servers.forEach(server => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** What the operator and the servers write; a null value drops the key. */
  put(topic, key, value) {
    const bytes =
      value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.append(topic, [encodeRecord(key, bytes)]);
  }

  logOf(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  append(topic, records) {
    this.logOf(topic).push(...records);
    const waiting = this.waiters.get(topic) ?? [];
    this.waiters.set(topic, []);
    waiting.forEach(wake => wake());
  }

  receive(request, response, machine) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () =>
      this.answer(url, Buffer.concat(chunks), response, machine),
    );
  }

  answer({pathname, searchParams}, body, response, machine) {
    const topic = searchParams.get('topic');
    const log = this.logOf(topic);
    const send = (status, content) => {
      const isRaw = Buffer.isBuffer(content);
      const bytes = isRaw ? content : Buffer.from(JSON.stringify(content));
      response.writeHead(status, {
        'Content-Type': isRaw ? 'application/octet-stream' : 'application/json',
        'Content-Length': bytes.length,
      });
      response.end(bytes);
    };
    if (pathname === '/log-append') {
      const at = searchParams.get('at');
      if (at !== null && Number(at) !== log.length) {
        return send(412, {end: log.length});
      }
      if (at !== null) this.lastWriter = machine;
      if (at !== null) this.lastWriter = machine;
      const offset = log.length;
      this.append(topic, decodeRecords(body));
      return send(200, {offset, end: log.length});
    }
    if (pathname === '/log-newest') return send(200, this.listNewest(log));
    if (pathname === '/log-read') {
      return this.read(topic, log, searchParams, response, send);
    }
    send(404, {});
  }

  listNewest(log) {
    const newest = new Map();
    log.forEach(({key, value}, offset) => {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value: value.toString('base64'), offset});
    });
    return {items: [...newest.values()], has_more: false, end: log.length};
  }

  read(topic, log, searchParams, response, send) {
    const from = Number(searchParams.get('from'));
    const answer = () => {
      clearTimeout(timer);
      if (response.destroyed) return;
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(log.length), 0);
      send(
        200,
        Buffer.concat([head, ...log.slice(from).map(({bytes}) => bytes)]),
      );
    };
    const timer = setTimeout(answer, Number(searchParams.get('wait_ms') ?? 0));
    if (log.length > from) return answer();
    this.waiters.set(topic, [...(this.waiters.get(topic) ?? []), answer]);
  }
}

// A small stand-in of the platform's store: the calls that PROTOCOL.md, "The
// platform's metadata store", describes and that the nodes use.
import {createServer} from 'node:http';

const READ_ONLY = new Set(['keyed.op', 'keyed.servers']);

class Topic {
  records = [];
  newest = new Map();
  waiting = new Set();

  get end() {
    return this.records.length;
  }

  append(records) {
    const offset = this.end;
    for (const record of records) {
      const keyLength = record[0];
      const key = record.toString('utf8', 1, 1 + keyLength);
      const value = record.subarray(1 + keyLength);
      if (value.length === 0) this.newest.delete(key);
      else this.newest.set(key, {key, value, offset: this.end});
      this.records.push(record);
    }
    [...this.waiting].forEach(wake => wake());
    return offset;
  }

  waitFor(offset, waitMs) {
    if (this.end > offset || waitMs <= 0) return Promise.resolve();
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiting.add(wake);
    });
  }
}

function splitRecords(body) {
  const records = [];
  let at = 0;
  while (at < body.length) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function joinRecords(records) {
  return Buffer.concat(
    records.flatMap(record => {
      const head = Buffer.alloc(4);
      head.writeUInt32BE(record.length);
      return [head, record];
    }),
  );
}

export class Store {
  topics = new Map();
  server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      void this.handle(request, Buffer.concat(chunks), response);
    });
  });

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, new Topic());
    return this.topics.get(name);
  }

  /** Writes as the operator or a runner; null drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value === null ? '' : JSON.stringify(value));
    const record = [Buffer.from([keyBytes.length]), keyBytes, valueBytes];
    return this.topic(topic).append([Buffer.concat(record)]);
  }

  async handle(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const name = url.searchParams.get('topic') ?? '';
    const topic = this.topic(name);
    const answer = (status, value) => {
      const bytes = Buffer.isBuffer(value)
        ? value
        : Buffer.from(JSON.stringify(value));
      response.writeHead(status, {'Content-Length': bytes.length}).end(bytes);
    };
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /log-append': {
        if (READ_ONLY.has(name)) return answer(403, {});
        const at = url.searchParams.get('at');
        if (at !== null && Number(at) !== topic.end) {
          return answer(412, {end: topic.end});
        }
        const offset = topic.append(splitRecords(body));
        return answer(200, {offset, end: topic.end});
      }
      case 'GET /log-read': {
        const from = Number(url.searchParams.get('from'));
        if (from > topic.end) return answer(410, {first: 0});
        await topic.waitFor(from, Number(url.searchParams.get('wait_ms') ?? 0));
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.end), 0);
        const records = joinRecords(topic.records.slice(from));
        return answer(200, Buffer.concat([head, records]));
      }
      case 'GET /log-newest': {
        const after = url.searchParams.get('after');
        const all = [...topic.newest.values()]
          .sort((a, b) => (a.key < b.key ? -1 : 1))
          .filter(({key}) => after === null || key > after);
        const page = all.slice(0, 500);
        return answer(200, {
          items: page.map(({key, value, offset}) => ({
            ...{key, offset},
            value: Buffer.from(value).toString('base64'),
          })),
          has_more: all.length > page.length,
          end: topic.end,
        });
      }
      default:
        return answer(404, {});
    }
  }
}

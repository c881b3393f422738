// A client: one connection for each call, or kept connections through an agent.
import {request as send} from 'node:http';

/** Resolves with the answer; `status` is null if none came. */
export function call({ip, port, path, method = 'POST', body = '', ...rest}) {
  const {requestId, host = 'lists.example', headers = {}, agent} = rest;
  const {deadlineMs = 1500} = rest;
  const sentAtMs = Math.round(performance.now());
  return new Promise(resolve => {
    const end = outcome =>
      resolve({
        ...{requestId, sentAtMs, endedAtMs: Math.round(performance.now())},
        ...outcome,
      });
    const outgoing = send({
      ...{host: ip, port, path, method, agent, setHost: false},
      headers: {
        Host: host,
        'Mimosatack-Request-Id': requestId,
        'Mimosatack-Deadline-Ms': String(deadlineMs),
        ...(body === '' ? {} : {'Content-Length': String(body.length)}),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      end({status: null, why: 'deadline'});
    }, deadlineMs);
    outgoing.on('error', error => {
      clearTimeout(timer);
      end({status: null, why: error.code ?? error.message});
    });
    outgoing.on('response', answer => {
      const chunks = [];
      answer.on('data', chunk => chunks.push(chunk));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        clearTimeout(timer);
        end({
          ...{status: answer.statusCode, headers: answer.headers},
          ...{body: Buffer.concat(chunks).toString('latin1')},
          isWhole: answer.complete,
        });
      });
    });
    outgoing.end(body);
  });
}

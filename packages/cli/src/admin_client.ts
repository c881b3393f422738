/** Calls the operators' interface of a node. */
import {ERROR_KINDS, TypedError} from '@mimosatack/errors';
import {request} from 'undici';
import {z} from 'zod';

/** Where the operators' interface is and who asks. */
export interface AdminClientOptions {
  baseUrl: string;
  token: string;
}

const errorSchema = z.object({
  error: z.object({
    kind: z.enum(ERROR_KINDS as unknown as [string, ...string[]]),
    message: z.string(),
    remedy: z.string().optional(),
  }),
});

/** A client of `/admin/v1`; every method rejects with a `TypedError`. */
export class AdminClient {
  constructor(private readonly options: AdminClientOptions) {}

  get(path: string): Promise<unknown> {
    return this.send('GET', path);
  }

  put(path: string, body: unknown): Promise<unknown> {
    return this.send('PUT', path, body);
  }

  delete(path: string): Promise<unknown> {
    return this.send('DELETE', path);
  }

  private async send(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const response = await request(`${this.options.baseUrl}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.options.token}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const answer: unknown = await response.body.json();
    if (response.statusCode >= 300) throw readError(answer);
    return answer;
  }
}

function readError(answer: unknown): TypedError {
  const parsed = errorSchema.safeParse(answer);
  if (!parsed.success) {
    return new TypedError('internal', 'The node gave an unreadable answer.');
  }
  const {kind, message, remedy} = parsed.data.error;
  const known = ERROR_KINDS.find(other => other === kind) ?? 'internal';
  return new TypedError(known, message, {remedy});
}

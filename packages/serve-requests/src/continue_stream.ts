/** Decides where a request may continue a stream that another request began. */
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type StreamOrigin, type StreamOrigins} from '@mimosatack/track-streams';
import {type ServiceName} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';
import {type RequestTarget} from './request_pipeline.js';

/** Knows at which software version streams began. */
export type StreamLookup = Pick<
  StreamOrigins,
  'record' | 'find' | 'mayBegin' | 'mayBeginSoon' | 'waitUntilRecorded'
>;

/** Time for another host that is only late to tell of the stream. */
const UNKNOWN_RETRY_MS = 500;

export function isResumedStream(
  {lastEventId, resumedRequestId}: CallerRequest,
  {route}: RequestTarget,
): boolean {
  const isResumed = lastEventId !== null || resumedRequestId !== null;
  return route.kind === 'streaming' && isResumed;
}

/** Returns null if it is not known where the stream began. */
export async function findOrigin(
  request: CallerRequest,
  {service, access}: RequestTarget,
  {streams, logger}: {streams: StreamLookup; logger: EventLogger},
): Promise<StreamOrigin | null> {
  const {requestId, resumedRequestId} = request;
  const team = access.team?.team ?? null;
  const answer = await streams.find({
    stream:
      resumedRequestId === null ? null : {requestId: resumedRequestId, team},
    service: service.name,
  });
  const {origin, source, askedHosts, answers, serversAgeMs} = answer;
  logger.log('stream-origin-found', {
    ...{requestId, resumedRequestId, source, askedHosts, answers},
    serversAgeMs,
    service: origin?.service ?? service.name,
    softwareVersion: origin?.softwareVersion ?? null,
  });
  return origin;
}

/** The service that began the stream, if the route still sends requests to it. */
export function chooseService(
  {service, route}: RequestTarget,
  origin: StreamOrigin,
): ServiceName {
  const isRouted = route.traffic.some(
    share => share.service === origin.service && share.weight > 0,
  );
  return isRouted ? origin.service : service.name;
}

export function makeOriginUnknownError(): TypedError {
  return new TypedError(
    'not-warm',
    'It is not known at which software version the stream began.',
    {
      ...{run: 'not-run', retryAfterMs: UNKNOWN_RETRY_MS},
      info: {reason: 'stream-origin-unknown'},
    },
  );
}

/** Routes that list the models, in the format of the OpenAI API. */
import {type FastifyInstance} from 'fastify';
import {authenticateCaller} from '@mimosatack/authenticate';
import {type CallerContext} from './caller_context.js';
import {
  type ModelSelection,
  formatSelection,
  selectModel,
} from './completion_request.js';

interface ModelParams {
  name: string;
}

/** Adds `/v1/models`; `warm` means that a replica can serve requests now. */
export function addModelRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  server.get('/v1/models', incoming => {
    authenticateCaller(incoming.headers.authorization, context.state());
    const data = listSelections(context).map(selection =>
      describeModel(selection, context),
    );
    return {object: 'list', data};
  });
  server.get<{Params: ModelParams}>('/v1/models/:name', incoming => {
    const state = context.state();
    authenticateCaller(incoming.headers.authorization, state);
    const selection = selectModel(incoming.params.name, state.configuration);
    return describeModel(selection, context);
  });
}

function listSelections(context: CallerContext): ModelSelection[] {
  return context
    .state()
    .configuration.list('model')
    .flatMap(({id, content}) => [
      {model: id, adapter: null},
      ...Object.keys(content.adapters).map(adapter => ({model: id, adapter})),
    ]);
}

function describeModel(selection: ModelSelection, context: CallerContext) {
  return {
    id: formatSelection(selection),
    object: 'model',
    created: 0,
    owned_by: 'mimosatack',
    warm: context.servingSets.listCandidates(selection).length > 0,
  };
}

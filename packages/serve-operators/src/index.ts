export {type NodeView, type OperatorContext} from './operator_context.js';
export {buildOperatorServer} from './operator_server.js';

export {type RouteRequest, Router} from './router.js';

// Stands in for moleculer in the platform's bundle: the broker without transporters, discoverers, tracers and the runner, which
// stay off and cost start-up time.
'use strict'
module.exports = {
  ServiceBroker: require('../node_modules/moleculer/src/service-broker'),
  Errors: require('../node_modules/moleculer/src/errors'),
  Utils: require('../node_modules/moleculer/src/utils')
}

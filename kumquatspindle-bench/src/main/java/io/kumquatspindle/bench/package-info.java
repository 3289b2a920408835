/** Demo, load tool and measurements. */
package io.kumquatspindle.bench;
